#!/bin/sh
export MALLOC_ARENA_MAX=2
exec java -Xmx2g -XX:MaxDirectMemorySize=4g $CATKINGATE_JAVA_OPTIONS -jar "$0" "$@"
