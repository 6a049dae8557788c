/** Choice of the target that should serve an adapter version. */
package org.apricotstand.placement;
