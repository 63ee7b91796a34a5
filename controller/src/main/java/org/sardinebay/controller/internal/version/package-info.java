/** Components of the controller that live as long as a database's configuration or term. */
package org.sardinebay.controller.internal.version;
