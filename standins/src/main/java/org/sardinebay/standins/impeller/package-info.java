/**
 * Stand-ins for the users' platform: line-protocol members, metadata store and promotion service.
 */
package org.sardinebay.standins.impeller;
