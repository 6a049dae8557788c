/** Decides when a second attempt of a slow request is sent, whether it may be, and where to. */
package org.apricotstand.hedge;
