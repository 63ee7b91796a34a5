/** The gateway: sessions of callers in front of replicated services. */
package org.sardinebay.gateway;
