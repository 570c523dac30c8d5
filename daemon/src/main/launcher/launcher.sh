#!/bin/sh
exec java -XX:+UseSerialGC -Xmx64m ${FLAMINGOPITCH_JAVA_OPTS} -jar "$0" "$@"
