#include "member-net.h"

int
main (void)
{
  return 0;
}
