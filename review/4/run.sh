#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" timeouts "$(dirname "$0")"
