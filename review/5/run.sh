#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" silent "$(dirname "$0")"
