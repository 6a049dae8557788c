/** The operators' declared intent: adapters, routing, capacity, services and targets. */
package org.apricotstand.declaration;
