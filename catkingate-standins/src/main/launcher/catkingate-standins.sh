#!/bin/sh
export MALLOC_ARENA_MAX=2
exec java -Xmx256m -XX:+UseSerialGC -XX:MaxDirectMemorySize=8g $CATKINGATE_JAVA_OPTIONS -jar "$0" "$@"
