#!/bin/bash
exec "$(dirname "$0")/../run-case.sh" store-restored review/1
