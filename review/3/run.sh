#!/bin/sh
exec sh "$(dirname "$0")/../run.sh" "$(dirname "$0")"
