/** Accounts for the memory of the serving path and reports what is given up. */
package org.apricotstand.memory;
