/** Selection of the target that serves an adapter version. */
package org.apricotstand.placement;
