/** Command line. */
package org.apricotstand.cli;
