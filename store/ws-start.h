#pragma once

#include "wc-settings.h"
#include "ws.h"

/**
 * DOC: The object that starting processes read first.
 *
 * It lists contacts and members, and has a copy of the configuration. With it a process is ready
 * after two small calls. Without it, hundreds of processes that start together after an outage each
 * read the whole configuration, and the store's network takes half a second for that.
 */

/** Contacts that are stored and read. */
#define WS_MAX_CONTACTS 64

/**
 * struct WsStart - content of the object
 * @members: (nullable): compressed member list
 * @config: (nullable): compressed root object of the configuration
 * @position: a watch of the configuration from here sees each change after @config
 * @era: of @position
 */
typedef struct
{
  WcAddress contacts[WS_MAX_CONTACTS];
  guint n_contacts;
  GBytes *members;
  GBytes *config;
  guint64 position;
  guint64 era;
} WsStart;

/** ws_start_encode() - (transfer full): the JSON text of the object */
GBytes *ws_start_encode (const WsStart *start);

/**
 * ws_start_decode() - decodes the object
 * @start: (out): to be released with ws_start_clear(); members that are missing or malformed are
 *   left out
 *
 * Return: FALSE when the text is not such an object
 */
gboolean ws_start_decode (GBytes *text, WsStart *start);
void ws_start_clear (WsStart *start);

/** ws_start_equal() - whether two objects have the same content, wherever their positions are */
gboolean ws_start_equal (const WsStart *a, const WsStart *b);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WsStart, ws_start_clear)
