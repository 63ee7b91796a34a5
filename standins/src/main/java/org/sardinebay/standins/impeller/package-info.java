/** Stand-ins for the users' platform: members on the line protocol, the store, promotions. */
package org.sardinebay.standins.impeller;
