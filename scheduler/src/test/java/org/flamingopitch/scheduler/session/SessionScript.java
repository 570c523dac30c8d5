package org.flamingopitch.scheduler.session;

import java.time.Duration;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.node.CallerRequest;

/** The requests of the callers and operators in a session. */
enum SessionScript {
    /** Price checks, holds, an evicted render job, a carving job that must not run twice, a configuration change. */
    MIXED {
        @Override
        void play(Session session) {
            int hosts = session.processes().size();
            for (int i = 0; i < 6; i++) {
                submitUrgent(session, 2_000 + 150 * i, i % hosts, i);
                submitHold(session, 2_050 + 150 * i, (i + 1) % hosts, i, i % 2 == 0);
            }
            submitJob(session, 1_900, hosts - 1, "render-1", Deployment.BATCH, 2_500);
            submitJob(session, 2_000, 0, "carving-1", Deployment.BATCH_ONCE, 1_200);
            requestEviction(session, 3_300, 0, "render-1");
            for (int i = 6; i < 9; i++) {
                submitUrgent(session, 3_500 + 900 * (i - 6), i % hosts, i);
                submitHold(session, 3_600 + 900 * (i - 6), (i + 1) % hosts, i, false);
            }
            session.callers()
                    .scheduleCall(
                            Duration.ofMillis(4_500),
                            0,
                            new CallRecord(
                                    "operator-2",
                                    new CallerRequest.ProposeConfig(
                                            org.flamingopitch.coordination.api.JsonCodec.json()
                                                    .encode(session.configuration()),
                                            1,
                                            "operator-2"),
                                    ""));
        }
    },
    /** More urgent requests at once than a rack has slots, together with batch jobs. */
    SATURATED {
        @Override
        void play(Session session) {
            int hosts = session.processes().size();
            submitJob(session, 1_900, 0, "render-1", Deployment.BATCH, 2_500);
            submitJob(session, 1_950, 1, "render-2", Deployment.BATCH, 2_500);
            submitJob(session, 2_000, 1, "render-3", Deployment.BATCH, 2_500);
            for (int i = 0; i < 60; i++) {
                submitSlowUrgent(session, 2_200 + 60L * i, i % hosts, i);
            }
            for (int i = 0; i < 10; i++) {
                submitHold(session, 2_250 + 300 * i, i % hosts, i, i % 2 == 0);
            }
        }
    };

    private static final long KEY_SEED = 7;

    /** Schedules all requests of the script. */
    abstract void play(Session session);

    static void submitUrgent(Session session, long atMillis, int process, int number) {
        String payload = "{\"price\":" + number + ",\"workMillis\":40}";
        CallerRequest request =
                new CallerRequest.Run(new KindName(Deployment.URGENT_REPEATABLE), null, Payload.ofText(payload));
        session.callers()
                .scheduleCall(
                        Duration.ofMillis(atMillis), process, new CallRecord("price-" + number, request, payload));
    }

    static void submitSlowUrgent(Session session, long atMillis, int process, int number) {
        String payload = "{\"price\":" + number + ",\"workMillis\":1500}";
        CallerRequest request =
                new CallerRequest.Run(new KindName(Deployment.URGENT_REPEATABLE), null, Payload.ofText(payload));
        session.callers()
                .scheduleCall(
                        Duration.ofMillis(atMillis), process, new CallRecord("price-" + number, request, payload));
    }

    /** Schedules a hold with an issued key, which carries its creation time, or with an opaque key of the caller. */
    static void submitHold(Session session, long atMillis, int process, int number, boolean issuedKey) {
        String payload = "{\"hold\":" + number + ",\"workMillis\":40}";
        IdempotencyKey key = issuedKey
                ? IdempotencyKey.issue(Session.START.plusMillis(atMillis), KEY_SEED + number)
                : new IdempotencyKey("hold-" + number);
        CallerRequest request =
                new CallerRequest.Run(new KindName(Deployment.URGENT_ONCE), key, Payload.ofText(payload));
        session.callers()
                .scheduleCall(Duration.ofMillis(atMillis), process, new CallRecord("hold-" + number, request, payload));
    }

    static void submitJob(Session session, long atMillis, int process, String key, String kind, long workMillis) {
        String payload = "{\"job\":\"" + key + "\",\"workMillis\":" + workMillis + "}";
        JobCommand command =
                new JobCommand.Submit(new IdempotencyKey(key), new KindName(kind), Payload.ofText(payload));
        session.callers()
                .scheduleCall(
                        Duration.ofMillis(atMillis),
                        process,
                        new CallRecord(key, new CallerRequest.Job(command), payload));
    }

    static void requestEviction(Session session, long atMillis, int process, String key) {
        JobCommand command = new JobCommand.Evict(new IdempotencyKey(key));
        session.callers()
                .scheduleCall(
                        Duration.ofMillis(atMillis),
                        process,
                        new CallRecord("evict-" + key, new CallerRequest.Job(command), ""));
    }
}
