/** Share of the weight store's limits and its lending between instances. */
package org.apricotstand.budget;
