#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, review/bin-2/world-2, from world-2.c and the packet and store
# code of the first review. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -o bin-2/world-2 world-2.c net.c store.c \
  $(pkg-config --cflags --libs glib-2.0 gio-unix-2.0 libsoup-3.0)
