/** Detects which requests were running when engines crashed and informs the other instances. */
package org.apricotstand.suspects;
