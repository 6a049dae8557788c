/** Entry point of the library. */
package org.apricotstand;
