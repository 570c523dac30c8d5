#!/bin/sh
# The build appends the jar to this script; java reads the jar from the script's own file.
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k -Xmx48m ${FLAMINGOPITCH_JAVA_OPTS} -jar "$0" "$@"
