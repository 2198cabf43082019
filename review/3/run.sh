#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" versions "$(dirname "$0")"
