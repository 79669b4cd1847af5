#pragma once

#include "ww-flow-key.h"

/**
 * DOC: The configuration of services, routes and tenants that all processes share.
 *
 * The package reads it from operators' files or from the platform's object store and validates it;
 * a validated configuration is not changed any more. Distributing it and acting on it are left to
 * other packages. Addresses and ports are in host byte order; times are microseconds.
 */

/**
 * enum WcClass - expected duration of the requests on a service port
 * @WC_CLASS_MIXED: not known in advance
 */
typedef enum
{
  WC_CLASS_SHORT,
  WC_CLASS_LONG,
  WC_CLASS_MIXED,
  WC_N_CLASSES,
} WcClass;

/** wc_class_name() - "short", "long" or "mixed" */
const gchar *wc_class_name (WcClass class);

typedef struct
{
  guint16 port;
  guint16 protocol; /* WW_PROTOCOL_TCP or WW_PROTOCOL_UDP */
  WcClass class;
} WcPort;

/**
 * struct WcTarget - a service that receives flows of a route
 * @weight: share of the flows relative to the other targets; not 0
 */
typedef struct
{
  guint64 service_id;
  guint weight;
} WcTarget;

/**
 * struct WcRoute - a destination address and port that clients use, and the services behind it
 * @class: expected duration of its requests
 * @priority: 0 is the highest
 * @objective_us: time within which clients want the response; 0 when not given
 * @uploads: its requests have large bodies, which all pass through the balancers
 * @targets: array of WcTarget; empty when all weights are 0
 */
typedef struct
{
  gatomicrefcount references; /* configurations and decoders that share the route */
  guint32 address;
  guint16 port;
  guint16 protocol;
  WcClass class;
  guint priority;
  gint64 objective_us;
  gboolean uploads;
  GArray *targets;
} WcRoute;

/**
 * struct WcService - one service
 * @id: wb_name_id() of @name
 * @address: destination address of @ports
 * @ports: each gets a route with this service as target; empty when the configuration has separate
 *   routes
 * @slots: requests that one endpoint serves concurrently
 * @reserve_short: slots per endpoint reserved for the short class; less than @slots
 * @queue_limit: maximum number of waiting entries at one endpoint
 * @deadline_us: longest wait of a request before it is refused
 * @turn_quiet_us: silence of the backend server after which a response counts as complete
 * @open_reserve_us: time for which a delivered initial packet reserves a slot
 * @idle_timeout_us: idle time after which a TCP flow is probed and a UDP flow ends
 * @cold_start_us: time after a backend server's start during which it counts as having half its
 *   slots
 * @cold_per_s: rate of requests per second at which one endpoint may be loaded while its backend
 *   server is cold, before the allowance of the agent's settings; 0 for no limit
 * @refusal_text: sent to refused clients; {retry_after} is replaced by a number of seconds
 */
typedef struct
{
  gchar *name;
  guint64 id;
  guint32 address;
  GArray *ports; /* of WcPort */
  guint slots;
  guint reserve_short;
  guint queue_limit;
  gint64 deadline_us;
  gint64 turn_quiet_us;
  gint64 open_reserve_us;
  gint64 idle_timeout_us;
  gint64 cold_start_us;
  gdouble cold_per_s;
  gchar *refusal_text;
} WcService;

/** Highest value of WcService.cold_per_s. */
#define WC_COLD_PER_S_MAX 1000000

typedef struct
{
  guint32 address;
  guint prefix_length;
} WcPrefix;

/**
 * struct WcTenant - a group of clients that fair queueing treats as one
 * @weight: share relative to the other tenants
 * @sources: address prefixes of the clients
 */
typedef struct
{
  gchar *name;
  guint64 id;
  guint weight;
  GArray *sources; /* of WcPrefix */
} WcTenant;

/** Index of the implicit tenant "other", which has the clients outside the source prefixes of all
 * other tenants. */
#define WC_TENANT_OTHER 0

/**
 * struct WcConfig - a configuration
 * @version: version of the root object; 0 for files that have not been applied
 * @digest: identifies the content; in the native format it is WcParts.digest, the first 8 bytes of
 *   the SHA-256 of the part hashes
 * @tenants: the first one, "other", is implicit and has weight 1
 * @zones: names of the availability zones
 * @drain_hosts: names of hosts whose endpoints accept no new flows
 * @has_uploads: a route has uploads
 * @entry_errors: number of entries, or members of entries, that could not be used and were left out
 * @entry_messages: (nullable): array of strings; describes the first of them
 */
typedef struct
{
  gatomicrefcount references;
  guint64 version;
  guint64 digest;
  GPtrArray *services; /* of WcService */
  GPtrArray *tenants;  /* of WcTenant */
  GPtrArray *zones;    /* of gchar */
  GPtrArray *drain_hosts;
  GHashTable *routes; /* set of WcRoute by destination */
  gboolean has_uploads;
  guint entry_errors;
  GPtrArray *entry_messages;
} WcConfig;

/** wc_config_new() - an empty configuration with the tenant "other" */
WcConfig *wc_config_new (void);
WcConfig *wc_config_ref (WcConfig *config);
void wc_config_unref (WcConfig *config);

/** wc_service_new() - a service with default limits, for wc_config_add_service() */
WcService *wc_service_new (const gchar *name, guint32 address);
void wc_service_add_port (WcService *service, guint16 port, guint16 protocol, WcClass class);

/** wc_config_add_service() - adds a service and a route for each of its ports; takes ownership of
 * @service */
void wc_config_add_service (WcConfig *config, WcService *service);

/** wc_route_new() - a route without targets, for wc_config_add_route() */
WcRoute *wc_route_new (guint32 address, guint16 port, guint16 protocol, WcClass class);

WcRoute *wc_route_ref (WcRoute *route);
void wc_route_unref (WcRoute *route);

/** wc_route_add_target() - adds a target; does nothing when @weight is 0 */
void wc_route_add_target (WcRoute *route, guint64 service_id, guint weight);

/** wc_config_add_route() - adds a route, or replaces the one with the same destination; takes
 * ownership of @route */
void wc_config_add_route (WcConfig *config, WcRoute *route);

/** wc_config_find_route() - the route of a destination, or NULL */
const WcRoute *
wc_config_find_route (const WcConfig *config, guint32 address, guint16 port, guint16 protocol);

/**
 * wc_route_choose() - chooses one of the route's targets for a flow, by weight
 *
 * The choice depends on route and flow only, so that every process makes the same one for all
 * packets of the flow.
 *
 * Return: id of the service; 0 when the route has no targets
 */
guint64 wc_route_choose (const WcRoute *route, const WwFlowKey *key);

/** wc_route_has_target() - whether the service is a target of the route */
gboolean wc_route_has_target (const WcRoute *route, guint64 service_id);

/** wc_config_add_tenant() - adds a tenant with one source prefix */
void wc_config_add_tenant (
    WcConfig *config, const gchar *name, guint weight, guint32 address, guint prefix_length);

/** wc_config_find_service() - the service of the first target of a destination, or NULL */
const WcService *
wc_config_find_service (const WcConfig *config, guint32 address, guint16 port, guint16 protocol);

/** wc_config_service_by_id() - the service, or NULL */
const WcService *wc_config_service_by_id (const WcConfig *config, guint64 id);

/** wc_config_find_tenant() - index into WcConfig.tenants of the tenant of a client's address */
guint wc_config_find_tenant (const WcConfig *config, guint32 client_address);

/** wc_config_host_is_drained() - whether a host is to be drained; @host_id is its wb_name_id() */
gboolean wc_config_host_is_drained (const WcConfig *config, guint64 host_id);

/** wc_service_find_port() - the port, or NULL */
const WcPort *wc_service_find_port (const WcService *service, guint16 port, guint16 protocol);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcConfig, wc_config_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcRoute, wc_route_unref)
