/** Decisions whose state lives as long as one version of a configuration or term of a database. */
package org.sardinebay.internal.version;
