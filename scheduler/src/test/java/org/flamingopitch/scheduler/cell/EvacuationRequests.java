package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.scheduler.cell.entry.CellNode;

/** The requests to evacuate data centres in the store of a simulated cell. */
final class EvacuationRequests {

    private static final String PREFIX = "op/evacuate/";

    private EvacuationRequests() {}

    /** Requests the evacuation of a data centre, as the operator does. */
    static void evacuate(CellSession session, String dataCentre) {
        session.store().write(PREFIX + dataCentre, "{}");
    }

    /** Withdraws the request to evacuate a data centre, as the operator does. */
    static void withdraw(CellSession session, String dataCentre) {
        session.store().remove(PREFIX + dataCentre);
    }

    /** Passes the requests to a node, as the watcher of the operators' requests does. */
    static void watch(LoopContext context, CellNode node) {
        StoreWatcher watcher = new StoreWatcher(context, "op/", Duration.ofMillis(2_500));
        Set<String> evacuated = new HashSet<>();
        watcher.addListener(entry -> {
            String dataCentre = entry.key().substring(PREFIX.length());
            if (entry.deleted()) {
                evacuated.remove(dataCentre);
            } else {
                evacuated.add(dataCentre);
            }
        });
        watcher.addAnswerListener(() -> {
            if (watcher.initialListReceived()) {
                node.evacuate(evacuated);
            }
        });
        watcher.start();
    }
}
