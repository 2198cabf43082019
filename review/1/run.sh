#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" flood "$(dirname "$0")"
