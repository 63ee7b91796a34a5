/** The program {@code sardinebay-standins}. */
package org.sardinebay.standins;
