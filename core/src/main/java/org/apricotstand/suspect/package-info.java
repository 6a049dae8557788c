/** Detects requests that crash targets and limits how they run again. */
package org.apricotstand.suspect;
