/** The single thread on which an instance makes its decisions. */
package org.apricotstand.control;
