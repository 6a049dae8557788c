/** Assembles an instance from its parts and the external systems that it is given. */
package org.apricotstand.serve;
