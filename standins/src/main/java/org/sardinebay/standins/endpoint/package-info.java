/** The stand-in of an endpoint: one member of a database, with its log and its replication. */
package org.sardinebay.standins.endpoint;
