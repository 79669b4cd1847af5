#include "wc-load.h"

#include "wc-build.h"
#include "wc-parts.h"

#include <string.h>

/* Files are sorted, so that error messages have a stable order. */
static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const gchar *const *) a, *(const gchar *const *) b);
}

static GPtrArray *
list_files (const gchar *path, GError **error)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  GError *open_error = NULL;
  GDir *directory = g_dir_open (path, 0, &open_error);
  const gchar *name;

  if (directory == NULL)
    {
      wc_set_file_error (error, path, open_error);
      return NULL;
    }
  while ((name = g_dir_read_name (directory)) != NULL)
    if (g_str_has_suffix (name, ".toml") && name[0] != '.')
      g_ptr_array_add (names, g_strdup (name));
  g_dir_close (directory);
  if (names->len == 0)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_FILE, "%s: no file named *.toml", path);
      return NULL;
    }
  g_ptr_array_sort (names, compare_names);
  return g_steal_pointer (&names);
}

static void
add_document (
    GPtrArray *documents, WcReader *reader, const gchar *name, const gchar *text, gsize length)
{
  gchar *file = g_ref_string_new (name);
  GError *error = NULL;
  WcValue *document = wc_toml_parse (file, text, length, &error);

  g_ref_string_release (file);
  if (document != NULL)
    g_ptr_array_add (documents, document);
  else
    wc_reader_take_gerror (reader, error);
}

static void
add_file (GPtrArray *documents, WcReader *reader, const gchar *directory, const gchar *name)
{
  g_autofree gchar *path = g_build_filename (directory, name, NULL);
  g_autofree gchar *text = NULL;
  GError *cause = NULL;
  GError *error = NULL;
  gsize length;

  if (g_file_get_contents (path, &text, &length, &cause))
    {
      add_document (documents, reader, name, text, length);
      return;
    }
  wc_set_file_error (&error, name, cause);
  wc_reader_take_gerror (reader, error);
}

static WcConfig *
build_config (GPtrArray *documents, WcReader *reader, GError **error)
{
  g_autoptr (WcConfig) config = wc_build_config (documents, reader);
  g_autoptr (WcParts) parts = NULL;

  if (!wc_reader_finish (reader, error))
    return NULL;
  parts = wc_parts_encode (config, error);
  if (parts == NULL)
    return NULL;
  config->digest = parts->digest;
  return g_steal_pointer (&config);
}

WcConfig *
wc_load_directory (const gchar *path, GError **error)
{
  g_autoptr (GPtrArray) names = list_files (path, error);
  g_autoptr (GPtrArray) documents = NULL;
  WcConfig *config;
  WcReader reader;
  guint i;

  if (names == NULL)
    return NULL;
  documents = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_value_free);
  wc_reader_init (&reader);
  for (i = 0; i < names->len; i++)
    add_file (documents, &reader, path, g_ptr_array_index (names, i));
  config = build_config (documents, &reader, error);
  wc_reader_clear (&reader);
  return config;
}

WcConfig *
wc_load_text (const gchar *name, const gchar *text, GError **error)
{
  g_autoptr (GPtrArray) documents = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_value_free);
  WcConfig *config;
  WcReader reader;

  wc_reader_init (&reader);
  add_document (documents, &reader, name, text, strlen (text));
  config = build_config (documents, &reader, error);
  wc_reader_clear (&reader);
  return config;
}
