/** Processing of single requests: objects that live as long as one request. */
package org.sardinebay.proxy.internal.request;
