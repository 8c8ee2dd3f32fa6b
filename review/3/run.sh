#!/bin/sh
cd "$(dirname "$0")" && exec sh ../run-case.sh lost_streams
