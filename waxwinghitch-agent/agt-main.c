#include "agt.h"

#include "wd-command.h"
#include "wp.h"

static gboolean
run_agent (const WcSettings *settings, const WdPlatform *platform, GError **error)
{
  AgtDaemon *daemon = agt_daemon_new (settings, platform, error);

  if (daemon == NULL)
    return FALSE;
  agt_daemon_run (daemon);
  agt_daemon_free (daemon);
  return TRUE;
}

int
main (int argc, char **argv)
{
  const WdCommand command = { .name = "waxwinghitch-agent",
                              .log_name = "agent",
                              .doc =
                                  "Runs the agent of one backend server until SIGTERM or SIGINT.",
                              .role = WW_ROLE_AGENT,
                              .platforms = wp_platforms,
                              .run = run_agent };

  return wd_command_run (&command, argc, argv);
}
