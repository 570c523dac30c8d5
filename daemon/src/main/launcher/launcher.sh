#!/bin/sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k -Xmx48m ${FLAMINGOPITCH_JAVA_OPTS} -jar "$0" "$@"
