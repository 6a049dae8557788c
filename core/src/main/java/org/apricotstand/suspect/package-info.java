/** Requests that crash targets. */
package org.apricotstand.suspect;
