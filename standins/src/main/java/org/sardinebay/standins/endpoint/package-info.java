/** Stand-in for an endpoint: one member of a database with its log and replication. */
package org.sardinebay.standins.endpoint;
