#!/bin/sh
export MALLOC_ARENA_MAX=2
exec java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:MaxDirectMemorySize=64g -XX:TieredStopAtLevel=4 -XX:ReservedCodeCacheSize=32m -XX:MaxMetaspaceSize=64m -XX:+ExitOnOutOfMemoryError $CATKINGATE_JAVA_OPTIONS -jar "$0" "$@"
