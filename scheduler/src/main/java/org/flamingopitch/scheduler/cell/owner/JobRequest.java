package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/** A caller's request to the owner of the cell. */
public sealed interface JobRequest {

    /**
     * Submits a job.
     *
     * @param id the job
     * @param queue the queue as configured on the host that received the request
     * @param configurationVersion the version of that host's configuration, or {@link #UNKNOWN_VERSION}
     * @param spec what the caller submitted
     */
    record Submit(JobId id, QueueSpec queue, @JsonIgnore long configurationVersion, JobSpec spec)
            implements JobRequest {

        /** Hosts with an earlier version of the software do not send the version of their configuration. */
        public static final long UNKNOWN_VERSION = 0;

        /**
         * Rejects a request that lacks a component.
         *
         * @param id the job
         * @param queue the queue
         * @param configurationVersion the version of the host's configuration
         * @param spec what the caller submitted
         */
        public Submit {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(queue, "queue");
            Objects.requireNonNull(spec, "spec");
        }

        /**
         * Returns this request with another version of the configuration.
         *
         * @param version the version
         * @return the request
         */
        public Submit withConfigurationVersion(long version) {
            return new Submit(id, queue, version, spec);
        }

        Submit withQueue(QueueSpec other) {
            return new Submit(id, other, configurationVersion, spec);
        }
    }

    /**
     * Reads a job's state.
     *
     * @param id the job
     */
    record AskState(JobId id) implements JobRequest {

        /**
         * Rejects a request that lacks a component.
         *
         * @param id the job
         */
        public AskState {
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Cancels a job.
     *
     * @param id the job
     */
    record Cancel(JobId id) implements JobRequest {

        /**
         * Rejects a request that lacks a component.
         *
         * @param id the job
         */
        public Cancel {
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Counts the jobs of a queue of which no task has been started.
     *
     * @param queue the queue
     */
    record AskPending(QueueName queue) implements JobRequest {

        /**
         * Rejects a request that lacks a component.
         *
         * @param queue the queue
         */
        public AskPending {
            Objects.requireNonNull(queue, "queue");
        }
    }

    /**
     * Asks the owner to hand the cell over to a host with more processor time.
     *
     * @param candidate the process that would become the owner
     * @param leaseId the lease of the candidate, under which the owner's key is to be written
     */
    record RequestOwnership(OwnerRecord candidate, String leaseId) implements JobRequest {

        /**
         * Rejects a request that lacks a component.
         *
         * @param candidate the process that would become the owner
         * @param leaseId the lease of the candidate
         */
        public RequestOwnership {
            Objects.requireNonNull(candidate, "candidate");
            Objects.requireNonNull(leaseId, "leaseId");
        }
    }
}
