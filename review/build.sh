#!/usr/bin/env bash
# Builds the stand-ins of the scripts, review/world. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -o world world.c net.c store.c \
  $(pkg-config --cflags --libs glib-2.0 gio-unix-2.0 libsoup-3.0)
