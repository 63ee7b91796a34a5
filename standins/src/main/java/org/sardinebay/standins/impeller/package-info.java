/** Stand-ins for the users' platform: line-protocol members, metadata store and promotion call. */
package org.sardinebay.standins.impeller;
