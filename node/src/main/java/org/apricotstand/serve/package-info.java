/** An instance that serves requests over ports which a translation layer supplies. */
package org.apricotstand.serve;
