package org.flamingopitch.scheduler.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks the rules that the JSON schema cannot express: unique names, valid references, and a worker for each kind of
 * work that is large enough for it.
 */
public final class ConfigurationValidator {

    private final Configuration configuration;

    private final List<String> problems = new ArrayList<>();

    private ConfigurationValidator(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Validates a configuration.
     *
     * @param configuration the configuration
     * @return all problems, each with the JSON pointer of the invalid value; empty if the configuration is valid
     */
    public static List<String> findProblems(Configuration configuration) {
        ConfigurationValidator check = new ConfigurationValidator(configuration);
        check.checkInventory();
        check.checkKinds();
        return List.copyOf(check.problems);
    }

    private void checkInventory() {
        Set<String> dataCentres = new HashSet<>();
        Set<WorkerId> workers = new HashSet<>();
        boolean homeFound = false;
        for (int i = 0; i < configuration.dataCentres().size(); i++) {
            DataCentreSpec dataCentre = configuration.dataCentres().get(i);
            String pointer = "/dataCentres/" + i;
            requireNew(dataCentres.add(dataCentre.name()), pointer + "/name", dataCentre.name());
            homeFound |= dataCentre.region().equals(configuration.homeRegion());
            checkRacks(dataCentre, pointer, workers);
        }
        if (!homeFound) {
            problems.add("/homeRegion: no data centre is in region \"" + configuration.homeRegion() + "\"");
        }
    }

    private void checkRacks(DataCentreSpec dataCentre, String pointer, Set<WorkerId> workers) {
        Set<String> racks = new HashSet<>();
        for (int i = 0; i < dataCentre.racks().size(); i++) {
            RackSpec rack = dataCentre.racks().get(i);
            String rackPointer = pointer + "/racks/" + i;
            requireNew(racks.add(rack.name()), rackPointer + "/name", rack.name());
            for (int j = 0; j < rack.workers().size(); j++) {
                WorkerId worker = rack.workers().get(j).name();
                requireNew(workers.add(worker), rackPointer + "/workers/" + j + "/name", worker.value());
            }
        }
    }

    private void checkKinds() {
        Set<KindName> kinds = new HashSet<>();
        for (int i = 0; i < configuration.rules().kinds().size(); i++) {
            KindRule rule = configuration.rules().kinds().get(i);
            String pointer = "/rules/kinds/" + i;
            requireNew(kinds.add(rule.name()), pointer + "/name", rule.name().value());
            if (!fitsAnyWorker(rule)) {
                problems.add(pointer + "/size: no worker of the inventory is large enough for \"" + rule.name() + "\"");
            }
        }
    }

    private boolean fitsAnyWorker(KindRule rule) {
        int reserve = configuration.rules().urgentReserveSlots();
        return configuration.dataCentres().stream()
                .flatMap(dataCentre -> dataCentre.racks().stream())
                .flatMap(rack -> rack.workers().stream())
                .anyMatch(worker -> rule.size().fitsInto(worker.capacity())
                        && rule.urgency().usableSlots(worker.slots(), reserve) > 0);
    }

    private void requireNew(boolean isNew, String pointer, String name) {
        if (!isNew) {
            problems.add(pointer + ": \"" + name + "\" is used twice");
        }
    }
}
