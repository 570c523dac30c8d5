package org.flamingopitch.scheduler.node;

/** The keys that the scheduler uses in the platform's key-value service. */
public final class StoreKeys {

    /** The prefix of the keys that every process watches. */
    public static final String WATCHED = "flamingopitch/followed/";

    /** The prefix of the keys under which processes register as members. */
    public static final String MEMBERS = WATCHED + "members/";

    /** The prefix of the keys that record the owners of racks and shards. */
    public static final String OWNERS = WATCHED + "owners/";

    /** The key of the configuration. */
    public static final String CONFIG = WATCHED + "config";

    /** The prefix of the shards' journals, which are not watched. */
    public static final String JOURNALS = "flamingopitch/journals/";

    private StoreKeys() {}
}
