#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../run-case.sh"
