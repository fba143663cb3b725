#!/bin/bash
exec "$(dirname "$0")/../run-case.sh" stale-list review/3
