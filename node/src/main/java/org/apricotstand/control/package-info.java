/** The single thread that runs all decisions of an instance. */
package org.apricotstand.control;
