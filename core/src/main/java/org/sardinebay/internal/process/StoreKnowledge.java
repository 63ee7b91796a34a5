package org.sardinebay.internal.process;

/**
 * As of when a host knows the records of the store that it watches. They are watched apart, so one
 * may be recent and the other not.
 *
 * @param configuration the configuration
 * @param members the registry of the members
 */
public record StoreKnowledge(StoreFreshness configuration, StoreFreshness members) {}
