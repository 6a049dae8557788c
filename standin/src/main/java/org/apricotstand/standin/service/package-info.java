/** Stand-in for a plain service. */
package org.apricotstand.standin.service;
