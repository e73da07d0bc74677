#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case-2.sh" other-writer "$(dirname "$0")"
