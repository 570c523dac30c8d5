package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.coordination.api.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A successor must read the same marker that was written, and must not take another value for one. */
final class CommitMarkerTest {

    private static final String WRITTEN = "17.3 6124 10.0.0.1:7000 host-1.k2";

    /** The text is stored, so that a change of it would be misread by processes of another version. */
    @Test
    void markerIsWrittenAndReadInTheRecordedForm() {
        OwnerRecord owner = new OwnerRecord(new ProcessId("host-1.k2"), "10.0.0.1:7000", 0);
        CommitMarker marker = new CommitMarker(17, 3, owner, Duration.ofMillis(6_124));
        assertThat(marker.encode()).isEqualTo(WRITTEN);
        assertThat(CommitMarker.decode(WRITTEN)).contains(marker);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "17.3",
                "17.3 6124",
                "17.3 6124 10.0.0.1:7000",
                "17.3 6124 10.0.0.1:7000 ",
                "17.3 6124  host-1.k2",
                "17.3 -1 10.0.0.1:7000 host-1.k2",
                "17.3 6s 10.0.0.1:7000 host-1.k2",
                "17.3 99999999999999999999 10.0.0.1:7000 host-1.k2",
                "17 6124 10.0.0.1:7000 host-1.k2",
                "text that another writer has put there"
            })
    void otherValuesNameNoOwner(String value) {
        assertThat(CommitMarker.decode(value)).isEmpty();
    }
}
