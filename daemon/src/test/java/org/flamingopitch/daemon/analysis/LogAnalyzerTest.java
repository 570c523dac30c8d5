package org.flamingopitch.daemon.analysis;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.StringReader;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Each statistic is computed from a few records whose expected value is evident. */
final class LogAnalyzerTest {

    private static final String JOB = "00000000000000aa";

    private static final String SECOND_JOB = "00000000000000bb";

    private final StringBuilder log = new StringBuilder();

    @Test
    void numberBeforeTheTimeCountsAsTheTime() throws IOException {
        // The hosts' clocks differ by an hour; only the numbers are comparable.
        line(3.0, "host-a-1", "00:00:00", "event=submitted job=" + JOB + " queue=q steps=1 open=1");
        line(4.5, "host-b-1", "01:00:00", "event=start task=" + JOB + ".0.0.0 run=1 worker=w");
        line(7.5, "host-b-1", "01:00:00", "event=job_done job=" + JOB + " ms=1");
        LogAnalysis.Row row = onlyRow(Dimension.QUEUE);
        assertThat(row.key()).containsExactly("q");
        assertThat(row.startWaitMedianSeconds()).isEqualTo(1.5);
        assertThat(row.runTimeMedianSeconds()).isEqualTo(3.0);
        assertThat(rows(Dimension.WINDOW).keySet()).containsExactlyInAnyOrder("2", "4", "6");
    }

    @Test
    void logWithoutNumbersUsesTheTimeAndTheNameOfItsProcess() throws IOException {
        log.append("time=2026-07-29T01:00:00.000Z level=INFO logger=x event=started process=host-c-3.m5 callers=x\n");
        log.append("time=2026-07-29T01:00:01.000Z level=INFO logger=x event=not_served job=" + JOB
                + " request=Submit reply=Refused[retryAfter=PT1S, reason=no owner]\n");
        LogAnalysis.Row row = onlyRow(Dimension.DATA_CENTRE);
        assertThat(row.key()).containsExactly("host-c");
        assertThat(row.details().rejections()).isEqualTo(Map.of("no owner", 1L));
        assertThat(rows(Dimension.WINDOW).keySet()).containsExactly("2026-07-29T01:00:00Z");
    }

    @Test
    void ownersRejectionAndTheAnswerOfItsHostCountOnce() throws IOException {
        line(1.0, "host-a-1", "00:00:01", "event=refused job=" + JOB + " queue=q reason=backlog retry_ms=1000");
        line(1.1, "host-b-1", "00:00:01", refusal(JOB));
        line(9.0, "host-c-1", "00:00:09", refusal(JOB));
        assertThat(onlyRow(Dimension.QUEUE).rejected()).isEqualTo(2);
        Map<String, LogAnalysis.Row> byDataCentre = rows(Dimension.DATA_CENTRE);
        assertThat(byDataCentre.get("host-b").rejected()).isEqualTo(1);
        assertThat(byDataCentre.get("host-c").rejected()).isEqualTo(1);
        assertThat(byDataCentre).hasSize(2);
    }

    @Test
    void acceptingHostDecidesTheDataCentreOfARetriedJob() throws IOException {
        line(1.0, "host-a-1", "00:00:01", refusal(JOB));
        line(2.0, "host-b-1", "00:00:02", "event=accepted job=" + JOB + " queue=q");
        line(2.0, "host-c-1", "00:00:02", "event=submitted job=" + JOB + " queue=q steps=1 open=1");
        Map<String, LogAnalysis.Row> rows = rows(Dimension.DATA_CENTRE);
        assertThat(rows.get("host-a").rejected()).isEqualTo(1);
        assertThat(rows.get("host-b").submitted()).isEqualTo(1);
    }

    @Test
    void linesOfTwoOwnersAboutTheSameEventCountOnce() throws IOException {
        for (String host : List.of("host-b-1", "host-a-1")) {
            double start = host.equals("host-a-1") ? 1 : 5;
            line(start, host, "00:00:01", "event=submitted job=" + JOB + " queue=q steps=1 open=1");
            line(start + 1, host, "00:00:02", "event=start task=" + JOB + ".0.0.0 run=1 worker=w");
            line(start + 2, host, "00:00:03", "event=end task=" + JOB + ".0.0.0 run=1 worker=w kind=DONE");
            line(start + 2, host, "00:00:03", "event=job_done job=" + JOB + " ms=1");
        }
        LogAnalysis.Row row = onlyRow(Dimension.QUEUE);
        assertThat(row.submitted()).isEqualTo(1);
        assertThat(row.started()).isEqualTo(1);
        assertThat(row.done()).isEqualTo(1);
        assertThat(row.startWaitMedianSeconds()).isEqualTo(1.0);
        assertThat(row.details().runEnds()).isEqualTo(Map.of("DONE", 1L));
    }

    @Test
    void largestTenthAndTheFifthBelowAreClassesOfTheirOwn() throws IOException {
        IntStream.rangeClosed(1, 20)
                .forEach(i -> line(
                        i,
                        "host-a-1",
                        "00:00:01",
                        String.format(
                                "event=submitted job=%016x queue=q steps=1 open=1 work_core_ms=%d tasks=1",
                                i, i * 10)));
        Map<String, LogAnalysis.Row> rows = rows(Dimension.SIZE);
        assertThat(rows.get("largest").submitted()).isEqualTo(2);
        assertThat(rows.get("large").submitted()).isEqualTo(4);
        assertThat(rows.get("rest").submitted()).isEqualTo(14);
        assertThat(analyze(Dimension.SIZE).sizeUnit()).isEqualTo("work_core_ms");
    }

    @Test
    void sizeIsTheNumberOfDifferentTasksIfTheLogsDoNotStateTheWork() throws IOException {
        for (int i = 1; i <= 10; i++) {
            String id = String.format("%016x", i);
            line(i, "host-a-1", "00:00:01", "event=submitted job=" + id + " queue=q steps=1 open=1");
            for (int run = 1; run <= 10; run++) {
                // Job 10 has two tasks, the others one task that is started ten times.
                int task = i == 10 ? run % 2 : 0;
                line(
                        i,
                        "host-a-1",
                        "00:00:01",
                        "event=start task=" + id + ".0.0." + task + " run=" + run + " worker=w");
            }
        }
        Map<String, LogAnalysis.Row> rows = rows(Dimension.SIZE);
        assertThat(rows.get("largest").submitted()).isEqualTo(1);
        assertThat(rows.get("rest").submitted()).isEqualTo(9);
        assertThat(analyze(Dimension.SIZE).sizeUnit()).isEqualTo("tasks");
    }

    @Test
    void stopsEndsAndPlacesAreCountedByCause() throws IOException {
        line(0, "host-a-1", "00:00:01", "event=worker_entry worker=w1 life=1 draining=false data_centre=a labels=k,r1");
        line(0, "host-a-1", "00:00:01", "event=worker_entry worker=w2 life=1 draining=false data_centre=a labels=r2,k");
        line(0, "host-a-1", "00:00:01", "event=worker_entry worker=w3 life=1 draining=false data_centre=b");
        for (String worker : List.of("w1", "w2", "w3", "w4")) {
            line(1, "host-a-1", "00:00:01", "event=start task=" + JOB + ".0.0.0 run=1 worker=" + worker);
        }
        line(1, "host-a-1", "00:00:01", "event=stalled task=" + JOB + ".0.0.0 run=1 worker=w1 percent=3");
        line(1, "host-a-1", "00:00:01", "event=displaced task=" + JOB + ".0.0.0 run=1 worker=w1");
        line(1, "host-a-1", "00:00:01", "event=preempted task=" + JOB + ".0.0.0 run=1 worker=w1 for=x unsaved_ms=1");
        line(1, "host-a-1", "00:00:01", "event=evacuated task=" + JOB + ".0.0.0 run=1 worker=w1 reason=draining");
        line(1, "host-a-1", "00:00:01", "event=end task=" + JOB + ".0.0.0 run=1 worker=w1 kind=STOPPED");
        line(1, "host-a-1", "00:00:01", "event=end task=" + JOB + ".0.0.0 run=2 worker=w1 kind=FAILED");
        LogAnalysis.Details details = onlyRow(Dimension.QUEUE).details();
        assertThat(details.startsByPlace()).isEqualTo(Map.of("a/r1", 1L, "a/r2", 1L, "b", 1L, "unknown", 1L));
        assertThat(details.runStops())
                .isEqualTo(Map.of("stalled", 1L, "displaced", 1L, "preempted", 1L, "evacuated (draining)", 1L));
        assertThat(details.runEnds()).isEqualTo(Map.of("STOPPED", 1L, "FAILED", 1L));
    }

    @Test
    void quantilesAndEndsAreCountedPerQueue() throws IOException {
        for (int i = 1; i <= 20; i++) {
            String id = String.format("%016x", i);
            line(0, "host-a-1", "00:00:01", "event=submitted job=" + id + " queue=q" + i % 2 + " steps=1 open=1");
            line(i, "host-a-1", "00:00:01", "event=start task=" + id + ".0.0.0 run=1 worker=w");
            line(
                    i + 30,
                    "host-a-1",
                    "00:00:01",
                    List.of("event=job_failed", "event=cancelled").get(i % 2) + " job=" + id);
        }
        LogAnalysis.Row odd = rows(Dimension.QUEUE).get("q1");
        assertThat(odd.startWaitMedianSeconds()).isEqualTo(9);
        assertThat(odd.startWaitP95Seconds()).isEqualTo(19);
        assertThat(odd.cancelled()).isEqualTo(10);
        assertThat(odd.failed()).isZero();
        // The time of jobs that are not done says nothing about the time that a job takes.
        assertThat(odd.runTimeMedianSeconds()).isNull();
        assertThat(rows(Dimension.QUEUE).get("q0").failed()).isEqualTo(10);
    }

    @Test
    void shortenedIdsAndUnknownKindsAreCountedAsIncomplete() throws IOException {
        line(1, "host-a-1", "00:00:01", "event=submitted job=00aa queue=q steps=1 open=1");
        line(1, "host-a-1", "00:00:01", "event=start task=" + JOB + ".0.0 run=1 worker=w");
        line(1, "host-a-1", "00:00:01", "event=end task=" + JOB + ".0.0.0 run=1 worker=w kind=DO");
        line(1, "host-a-1", "00:00:01", "event=job_done job=" + SECOND_JOB + " ms=1");
        LogAnalysis analysis = analyze(Dimension.QUEUE);
        assertThat(analysis.incompleteRecords()).isEqualTo(3);
        assertThat(analysis.jobsWithoutSubmission()).isEqualTo(1);
    }

    private static String refusal(String job) {
        return "event=not_served job=" + job
                + " request=Submit reply=Refused[retryAfter=PT1S, reason=too much work waits]";
    }

    private void line(double seconds, String host, String timeOfDay, String text) {
        log.append(String.format(
                "%9.4f %s time=2026-07-29T%s.000Z level=INFO logger=x %s%n", seconds, host, timeOfDay, text));
    }

    private LogAnalysis analyze(Dimension dimension) throws IOException {
        LogAnalyzer analyzer = new LogAnalyzer(Pattern.compile(LogAnalyzer.DEFAULT_DATA_CENTRE_PATTERN));
        analyzer.read(new StringReader(log.toString()), "");
        return analyzer.analyze(List.of(List.of(dimension)));
    }

    private Map<String, LogAnalysis.Row> rows(Dimension dimension) throws IOException {
        return analyze(dimension).sections().get(0).rows().stream()
                .collect(Collectors.toMap(row -> row.key().get(0), row -> row));
    }

    private LogAnalysis.Row onlyRow(Dimension dimension) throws IOException {
        Map<String, LogAnalysis.Row> rows = rows(dimension);
        assertThat(rows).hasSize(1);
        return rows.values().iterator().next();
    }
}
