package org.flamingopitch.coordination.journal;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * Encodes and decodes segments and snapshot parts: an id in the first line, then one record per line. The id of a segment is
 * its write id, that of a snapshot part is the name of the snapshot.
 *
 * @param <R> the type of the records
 */
final class SegmentCodec<R> {

    private static final char LINE_SEPARATOR = '\n';

    private final JsonCodec codec;

    private final Class<R> recordType;

    SegmentCodec(JsonCodec codec, Class<R> recordType) {
        this.codec = codec;
        this.recordType = recordType;
    }

    String encodeRecord(R record) {
        try {
            return codec.mapper().writerFor(recordType).writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode journal record " + record, e);
        }
    }

    String encode(String id, List<String> lines) {
        return id + LINE_SEPARATOR + String.join("\n", lines);
    }

    String writeId(String segment) {
        int end = segment.indexOf(LINE_SEPARATOR);
        return end < 0 ? segment : segment.substring(0, end);
    }

    List<R> records(String segment) {
        List<R> records = new ArrayList<>();
        segment.lines().skip(1).filter(line -> !line.isEmpty()).forEach(line -> records.add(decodeRecord(line)));
        return records;
    }

    private R decodeRecord(String line) {
        return codec.decode(line, recordType);
    }
}
